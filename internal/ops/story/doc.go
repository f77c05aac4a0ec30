// Package story puts together what the logs of several entries say of one request.
package story
