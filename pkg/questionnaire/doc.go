// Package questionnaire parses the questionnaires that teams fill in and
// generates the configuration from them.
//
// A questionnaire is an INI file that declares a team's services, its adapters
// and the capacity that it lends:
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
// The value of an adapter's key lists its versions. The asterisk marks the
// current version, which serves requests that do not name one.
//
// # Usage
//
//	answers, err := questionnaire.Read("tessaro.ini")
//	if err != nil {
//		return err
//	}
//	next := questionnaire.Generate(current, answers)
package questionnaire
