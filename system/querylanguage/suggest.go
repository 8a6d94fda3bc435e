package querylanguage

// maxSuggestDistance is the maximum edit distance of a suggested name.
const maxSuggestDistance = 3

// Suggest returns the end of an error message that suggests the known name most similar to
// an unknown one, or "" if none is similar.
//
//	message += querylanguage.Suggest("wieghts", names)
func Suggest(wrong string, known []string) string {
	best, bestDistance := "", maxSuggestDistance+1
	for _, name := range known {
		if distance := editDistance(wrong, name); distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance between two words, in bytes. It stores only one
// row of the matrix.
func editDistance(left, right string) int {
	row := make([]int, len(right)+1)
	for column := range row {
		row[column] = column
	}
	for index := range len(left) {
		diagonal := row[0]
		row[0]++
		for column := range len(right) {
			cost := diagonal
			if left[index] != right[column] {
				cost = min(diagonal, row[column], row[column+1]) + 1
			}
			diagonal, row[column+1] = row[column+1], cost
		}
	}
	return row[len(right)]
}
