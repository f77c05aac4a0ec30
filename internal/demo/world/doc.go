// Package world is a small deployment on loopback: the platform's stand-ins, and a side beside each upstream.
package world
