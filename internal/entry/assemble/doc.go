// Package assemble puts the answer of one attempt together from the frames of its side, and refuses frames that are
// foreign, duplicated, missing or altered.
package assemble
