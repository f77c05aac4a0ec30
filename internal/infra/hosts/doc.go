// Package hosts is the platform's host list as the system sees it.
package hosts
