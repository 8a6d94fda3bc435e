package scale

// Claims are the growths that docs/CAPACITY.md gives, by the size that is varied and
// by figure. A run fails where a figure grows faster.
var Claims = map[string]map[string]Growth{}
