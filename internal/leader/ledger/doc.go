// Package ledger keeps the blocked prompt parts in the platform's store, where they outlive all entries.
package ledger
