package querylanguage

// Suggest suggests the known name that is nearest to a wrong one.
//
//	message += querylanguage.Suggest("wieghts", names)
func Suggest(wrong string, known []string) string {
	best, bestDistance := "", 4
	for _, name := range known {
		if far := editDistance(wrong, name); far < bestDistance {
			best, bestDistance = name, far
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance counts the edits between two words.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for position := range row {
		row[position] = position
	}
	for line := range len(left) {
		before := row[0]
		row[0]++
		for column := range len(right) {
			cost := before
			if left[line] != right[column] {
				cost = min(before, row[column], row[column+1]) + 1
			}
			before, row[column+1] = row[column+1], cost
		}
	}
	return row[len(right)]
}
