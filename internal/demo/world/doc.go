// Package world runs a small deployment on loopback: fake platform services, and fake upstreams with a side each.
package world
