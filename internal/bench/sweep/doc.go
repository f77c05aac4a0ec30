// Command sweep runs the scenarios over several seeds and prints each stated target, ours and naive.
package main
