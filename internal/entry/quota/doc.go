// Package quota enforces the teams' rate limits of the preset in force, over all entries.
package quota
