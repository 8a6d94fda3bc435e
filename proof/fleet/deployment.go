package fleet

// Deployment says how many processes of each kind there are, in which domains.
type Deployment struct {
	Name         string
	Domains      []string
	Fronts       int
	Stores       int
	Controls     int
	Models       int
	Applications int
	// Groups is the number of groups of sessions; 0 means the daemons' default.
	Groups int
}

// Deployments are those of the users' brief, and a small one for trials.
var Deployments = map[string]Deployment{
	"trial":     {Name: "trial", Domains: []string{"east", "west", "north"}, Fronts: 2, Stores: 3, Controls: 3, Models: 2, Applications: 2},
	"agency":    {Name: "agency", Domains: []string{"harbour", "centre", "hill"}, Fronts: 7, Stores: 3, Controls: 3, Models: 18, Applications: 7},
	"logistics": {Name: "logistics", Domains: []string{"north", "middle", "south"}, Fronts: 6, Stores: 3, Controls: 5, Models: 18, Applications: 8},
}
