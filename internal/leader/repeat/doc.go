// Package repeat recognizes requests that their callers send again, so that their targets count from the first time.
package repeat
