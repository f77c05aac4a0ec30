// Package client sends bounded JSON calls to the platform and says whether a failed one was sent.
package client
