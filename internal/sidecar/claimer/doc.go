// Package claimer makes and checks a side's claims on the actions of its service: it follows the action stream, appends
// records in groups and says whose claim holds.
package claimer
