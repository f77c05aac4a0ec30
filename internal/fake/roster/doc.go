// Package roster is a stand-in for the platform's host list.
package roster
