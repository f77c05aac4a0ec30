// Package eject detects failing upstreams and ejects them for a time, with a cap on how many are ejected at once.
package eject
