// Package repeat recognizes requests that their callers retry. The target of a retry counts from the first attempt.
package repeat
