// Package crowd tests processes of the program against many clients at once that stay inside the protocol's limits or just
// outside, and that want nothing but to occupy the process.
package crowd
