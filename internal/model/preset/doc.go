// Package preset defines operating modes of the system, such as for peak load or maintenance.
package preset
