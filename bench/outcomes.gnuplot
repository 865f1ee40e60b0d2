# Latency that claims add; reads outcomes.dat of bench_outcomes.
set terminal svg size 800,500
set output "outcomes.svg"
set title "Latency added by a claim, 20 hosts, log round trip 2 ms"
set xlabel "non-idempotent requests/s, all hosts together"
set ylabel "added latency, ms"
set logscale x
set logscale y
set key left top
pick(d, w, c) = sprintf("< awk '$1==\"%s\" && $2==\"%s\" {print $3, $%d}' outcomes.dat", d, w, c)
plot pick("tunis", "collector", 4) with linespoints title "tunis, collector, p50", \
     pick("tunis", "collector", 5) with linespoints title "tunis, collector, p99", \
     pick("puntarenas", "collector", 5) with linespoints title "puntarenas, collector, p99", \
     pick("tunis", "alone", 4) with linespoints title "tunis, each host alone, p50", \
     pick("tunis", "alone", 5) with linespoints title "tunis, each host alone, p99"
