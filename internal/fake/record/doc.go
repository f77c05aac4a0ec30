// Package record holds a stand-in's own record of the calls that reached it.
package record
