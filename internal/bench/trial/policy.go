package trial

// Policy says which of the system's decisions are in use; the zero value is the naive version:
// round robin, first come first served, fixed timeouts, three retries and no admission.
type Policy struct {
	Name  string
	Pick  bool // pick in place of round robin
	Sched bool // sched in place of first come, first served, and deadlines in place of fixed timeouts
	Retry bool // a retry budget in place of three retries
	Eject bool // ejection of failing upstreams
	Admit bool // refusal at the entry
	Share bool // team limits over all entries
	Affin bool // prefix affinity
	Zone  bool // subsets, own zone first, with a cap on spill
	Hedge bool // second calls under a budget
}

// Naive is the differential partner.
func Naive() Policy { return Policy{Name: "naive"} }

// Ours is the system's policy.
func Ours() Policy {
	return Policy{Name: "ours", Pick: true, Sched: true, Retry: true, Eject: true, Admit: true, Share: true, Affin: true, Zone: true, Hedge: true}
}
