// Package wake ends the pauses of all who wait to try something again as soon as one of them has succeeded.
package wake
