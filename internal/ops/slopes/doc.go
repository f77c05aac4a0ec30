// Command slopes measures the control-plane cost of each role at a few small sizes and extrapolates it linearly to the
// target size.
package main
