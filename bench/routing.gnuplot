# Plots the results of bench_routing and bench_routing_cost in bench/out.
set terminal svg size 900,600
set grid
set key below

set output "routing_load.svg"
set multiplot layout 1,2
set xlabel "offered load, % of slots"
set ylabel "p99, ms"
set title "claims-desk (tunis)"
plot for [i=2:6] "routing_load_tunis.dat" using 1:i with linespoints \
    title word("M/M/c random least-inflight two-choices reports", i-1)
set title "dispatch (puntarenas)"
plot for [i=2:6] "routing_load_puntarenas.dat" using 1:i with linespoints \
    title word("M/M/c random least-inflight two-choices reports", i-1)
unset multiplot

set output "routing_policies.svg"
set multiplot layout 1,2
set style data histograms
set style fill solid 0.6
set logscale y
set yrange [5:*]
set xlabel ""
set xtics rotate by -40
set title "claims-desk at 80% load"
plot "routing_policies_tunis.dat" using 2:xtic(1) title "p99, ms", \
    "" using 3 title "p99 without service time, ms"
set title "dispatch at 80% load"
plot "routing_policies_puntarenas.dat" using 2:xtic(1) title "p99, ms", \
    "" using 3 title "p99 without service time, ms"
unset multiplot

set output "routing_cost.svg"
set multiplot layout 1,2
set style data linespoints
set xtics norotate
set logscale xy
set xlabel "upstreams"
set title "one decision"
set ylabel "ns"
set yrange [100:1000]
plot "routing_cost.dat" using 1:2 title "choose, send, report, finish"
set title "memory of a router"
set ylabel "bytes"
set autoscale y
plot "routing_cost.dat" using 1:3 title "bytes"
unset multiplot
