// Package query asks sides for the recorded outcomes of actions.
package query
