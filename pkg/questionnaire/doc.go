// Package questionnaire reads a team's answers and generates configuration
// from them.
//
// A questionnaire is an INI file in which a team says what it serves, which
// adapters it owns and what capacity it lends:
//
//	[team]
//	name = tessaro
//	key_digests = 9f86d081884c7d65...
//
//	[service.assistente]
//	kind = model
//	base = base-7b
//	lend_share = 0.25
//	lend_to = dobrescu
//
//	[adapters.assistente]
//	renewal-notices = 1, 2, 3*
//
// The value of an adapter lists its versions; the star marks the one in force.
//
// # Usage
//
//	answers, err := questionnaire.Read("tessaro.ini")
//	if err != nil {
//		return err
//	}
//	next := questionnaire.Generate(current, answers)
package questionnaire
