# Goodput of the owner of a share after its demand returns, while the share is
# lent to another line. Reads limits_return_*.dat of bench_limits.
set terminal svg size 900,420 background "white"
set output "limits_return.svg"
set multiplot layout 1,2
set key bottom right
set xlabel "ms after the owner's demand returns"
set ylabel "goodput of the owner / its offered load"
set yrange [0:1.5]
set xrange [0:400]
set arrow from 100, graph 0 to 100, graph 1 nohead dt 2
do for [name in "tunis puntarenas"] {
    set title name
    plot "limits_return_".name.".dat" using 1:2 with lines lw 2 \
             title "through all hosts", \
         "" using 1:3 with lines lw 2 title "through one host", \
         "" using 1:4 with lines lw 2 title "no limits"
}
unset multiplot
