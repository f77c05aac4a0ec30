// Package verify tells upstreams that crashed from those that only lost an answer.
package verify
