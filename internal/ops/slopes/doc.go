// Command slopes measures what the control work of each role costs, at a few small sizes, and works out from the slopes
// what it costs at the target size.
package main
