// Package assemble assembles the answer of one attempt from the frames of its side. It drops foreign and duplicate
// frames, and detects missing frames and altered content.
package assemble
