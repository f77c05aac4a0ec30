// Package place picks the model engine for a request.
//
// Many prompts share their first parts, and an engine skips reading a part that it has cached. A long prompt delays all
// requests on its engine, and results of stages are cheap to read only in their own availability zone. The choice
// weighs these costs against each other, by the rates at which engines are found to read. Engines that have too much to read
// for a request to begin in time beside more urgent ones, or too little memory, are not chosen.
package place
