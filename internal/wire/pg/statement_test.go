package pg

import "testing"

// A host answers a statement that is not in the platform's form with 08P01, so the gateway must not forward
// it.
func TestStatementWithoutValidComment(t *testing.T) {
	const fields = "id=1,c=x,d=5,cluster=2"
	for _, text := range []string{
		"SELECT content FROM kv WHERE name = 'a'" + fields + " */",
		"SELECT content FROM kv WHERE name = 'a' " + fields + " */",
		"SELECT content FROM kv WHERE name = 'a' /* " + fields,
		"SELECT content FROM kv WHERE name = 'a'",
		"SELECT content FROM kv WHERE name = 'a' /* */",
		"SELECT content FROM kv WHERE name = 'a' /* " + fields + " */ */",
	} {
		if _, err := ParseStatement([]byte(text)); err == nil {
			t.Errorf("accepted without a valid comment: %s", text)
		}
	}
	if _, err := ParseStatement([]byte("SELECT content FROM kv WHERE name = 'a' /* " + fields + " */")); err != nil {
		t.Errorf("valid statement refused: %v", err)
	}
}
