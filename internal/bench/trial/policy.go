package trial

// Policy says which of the system's mechanisms are in use; the zero value is the naive policy: round robin, first come
// first served, fixed timeouts, three retries and no admission control.
type Policy struct {
	Name     string
	Pick     bool // load-aware choice in place of round robin
	Sched    bool // scheduling in place of first come, first served, and deadlines in place of fixed timeouts
	Retry    bool // a retry budget in place of three retries
	Eject    bool // ejection of failing upstreams
	Admit    bool // admission control at the entry
	Share    bool // team limits shared by all entries
	Affinity bool // prefix affinity
	Zone     bool // subsets and a preference for the entry's own zone, with a cap on spill
	Hedge    bool // hedged calls under a budget
}

// Naive returns the policy that the system's is compared with.
func Naive() Policy { return Policy{Name: "naive"} }

// Ours returns the system's policy, with every mechanism in use.
func Ours() Policy {
	return Policy{Name: "ours", Pick: true, Sched: true, Retry: true, Eject: true, Admit: true,
		Share: true, Affinity: true, Zone: true, Hedge: true}
}
