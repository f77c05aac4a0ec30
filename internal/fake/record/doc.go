// Package record is a stand-in's own book of what it ran.
package record
