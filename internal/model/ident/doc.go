// Package ident names attempts, fingerprints requests and digests answers.
package ident
