// Package ident computes identifiers of attempts and digests of requests, prompts and answers.
package ident
