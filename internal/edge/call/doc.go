// Package call holds the fields that requests and answers carry in their headers, independent of the platform's names.
package call
