// Package quota holds the teams' request rates over all entries, as the preset in force says.
package quota
