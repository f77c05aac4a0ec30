// Package claim derives from the action stream of a service which owner may run which action.
//
// A claim holds a key from its first offset on if the key is free there and the claim was not released before;
// otherwise it is dead for good, and so are its later copies. A key is freed only by the release of
// the claim that holds it, which the owner writes after it has made sure that it will not run the action.
// So at most one owner ever finds its own claim holding a key and runs the action.
package claim
