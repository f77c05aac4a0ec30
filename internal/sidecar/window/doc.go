// Package window is a side's part in the claims on its service: it follows the action stream,
// appends records in groups and says whose claim holds.
package window
