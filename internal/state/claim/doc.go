// Package claim folds the action stream of a service into who may run which action.
//
// A claim takes hold at its first offset if its key is free there and it was not released before;
// otherwise it is dead for good, and so are its later copies. A key is freed only by the release of
// the claim that holds it, which its owner writes after it made sure that it won't run the action.
// So at most one owner ever finds its own claim holding a key and runs the action.
package claim
