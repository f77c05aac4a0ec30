// Command plots draws attainment by load, and goodput during an overload and after it, for the system's policy and the
// naive one.
package main
