// Package eject keeps calls from upstreams that fail, with a cap on how many are out at once.
package eject
