// Package report builds the handover report that one shift of operators passes to the next.
package report
