# Cost of one change and of one admission, by the number of callers.
set terminal pngcairo size 900,500
set output 'config.png'
set logscale x 2
set xlabel 'callers (as many selectors, services and lines in proportion)'
set ylabel 'us per change'
set y2label 'ns per admission'
set y2tics
set ytics nomirror
set yrange [0:*]
set y2range [0:*]
set key left bottom
plot 'config_slope.dat' using 1:2 with linespoints title 'apply a change', \
     'config_slope.dat' using 1:3 axes x1y2 with linespoints title 'admit'
