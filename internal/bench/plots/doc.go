// Command plots draws attainment against load, and an overload with its recovery over time, ours beside naive.
package main
