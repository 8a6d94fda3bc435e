package fleet

// Deployment lists the failure domains of a deployment and its number of processes of each role.
// Models and Applications count the stand-in runners of the two kinds.
type Deployment struct {
	Name         string
	Domains      []string
	Fronts       int
	Stores       int
	Controls     int
	Models       int
	Applications int
	// Groups is the number of replication groups; 0 selects the daemons' default.
	Groups int
}

// Deployments are the deployments of the requirements, and "trial", a small one for short runs.
var Deployments = map[string]Deployment{
	"trial":     {Name: "trial", Domains: []string{"east", "west", "north"}, Fronts: 2, Stores: 3, Controls: 3, Models: 2, Applications: 2},
	"agency":    {Name: "agency", Domains: []string{"harbour", "centre", "hill"}, Fronts: 7, Stores: 3, Controls: 3, Models: 18, Applications: 7},
	"logistics": {Name: "logistics", Domains: []string{"north", "middle", "south"}, Fronts: 6, Stores: 3, Controls: 5, Models: 18, Applications: 8},
}
