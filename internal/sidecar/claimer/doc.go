// Package claimer makes and checks a side's claims on the actions of its service. It follows the action stream, appends
// records in batches and determines which claim holds an action.
package claimer
