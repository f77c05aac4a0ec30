// Package assem assembles the answer of one attempt from the frames of its side,
// and refuses what is foreign, doubled, missing or altered.
package assem
