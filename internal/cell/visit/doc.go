// Package visit recognizes requests whose callers come back, so that their targets count from the first visit.
package visit
