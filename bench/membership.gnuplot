# Cost and delays of membership; reads membership_*.dat of bench_membership.
set terminal pngcairo size 1200,900
set output 'membership.png'
set multiplot layout 2,2
set grid
set key center right
set title 'Cost of one host by number of hosts'
set xlabel 'hosts'
set ylabel 'bytes/s sent'
set yrange [0:10500]
plot 'membership_cost.dat' using 1:2 with linespoints title 'measured', \
     10000 with lines dashtype 2 title 'bound'
set autoscale y
set title 'Processor time of one host'
set ylabel 'share of a core'
plot 'membership_cost.dat' using 1:4 with linespoints title 'measured', \
     0.01 with lines dashtype 2 title 'bound'
set title 'Time until each other host knows of a drain'
set xlabel 'ms'
set ylabel 'share of hosts'
set yrange [0:1.02]
plot 'membership_drain_20.dat' using 1:2 with lines title '20 hosts', \
     'membership_drain_200.dat' using 1:2 with lines title '200 hosts'
set autoscale y
set title 'After a partition of an hour, 20 hosts'
set xlabel 's since the end of the partition'
set ylabel 'bytes/s sent by a host'
set yrange [0:10500]
plot 'membership_rejoin.dat' using 1:2 with linespoints title 'mean', \
     10000 with lines dashtype 2 title 'bound'
unset multiplot
