package pooling

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestScan(t *testing.T) {
	for sql, want := range map[string][]Command{
		"":                                 {{Kind: Empty}},
		" ; -- nothing\n/* a /* b */ c */": {{Kind: Empty}},
		"SELECT content FROM kv WHERE name = $1 /* c=x */":       {{Kind: Read}},
		"select 1; insert into kv values ('a;b')":                {{Kind: Read}, {Kind: Write}},
		"SELECT * FROM kv FOR UPDATE":                            {{Kind: Write}},
		"SELECT my_function(1)":                                  {{Kind: Write}},
		"SELECT count(*), lower(name) FROM kv WHERE a IN (1)":    {{Kind: Read}},
		`SELECT "nextval"('s')`:                                  {{Kind: Write}},
		"SELECT nextval('s')":                                    {{Kind: Write}},
		"SELECT $q$ insert into; $q$":                            {{Kind: Read}},
		"WITH x AS (DELETE FROM kv RETURNING 1) SELECT * FROM x": {{Kind: Write}},
		"WITH x AS (SELECT 1) SELECT * FROM x":                   {{Kind: Read}},
		"EXPLAIN SELECT 1":                                       {{Kind: Read}},
		"EXPLAIN ANALYZE DELETE FROM kv":                         {{Kind: Write}},
		"BEGIN":                                                  {{Kind: Begin}},
		"begin isolation level serializable, read only":          {{Kind: Begin, ReadOnly: true}},
		"START TRANSACTION READ ONLY":                            {{Kind: Begin, ReadOnly: true}},
		"COMMIT AND CHAIN":                                       {{Kind: Commit}},
		"END":                                                    {{Kind: Commit}},
		"COMMIT PREPARED 'x'":                                    {{Kind: Write}},
		"ROLLBACK":                                               {{Kind: Rollback}},
		"ABORT":                                                  {{Kind: Rollback}},
		"ROLLBACK WORK TO SAVEPOINT A":                           {{Kind: RollbackTo, Name: "a"}},
		`ROLLBACK TO "A"`:                                        {{Kind: RollbackTo, Name: "A"}},
		"SAVEPOINT s":                                            {{Kind: Savepoint, Name: "s"}},
		"RELEASE SAVEPOINT s":                                    {{Kind: Release, Name: "s"}},
		"SET search_path = a, \"B c\"":                           {{Kind: Set, Name: "search_path", Value: `a, "B c"`}},
		"SET SESSION App.Tenant TO 'x;y'":                        {{Kind: Set, Name: "app.tenant", Value: "'x;y'"}},
		"SET LOCAL work_mem = '4MB'":                             {{Kind: SetLocal, Name: "work_mem", Value: "'4MB'"}},
		"SET TIME ZONE 'Asia/Kolkata'":                           {{Kind: Set, Name: "timezone", Value: "'Asia/Kolkata'"}},
		"SET TIME ZONE LOCAL":                                    {{Kind: Reset, Name: "timezone"}},
		"SET work_mem TO DEFAULT":                                {{Kind: Reset, Name: "work_mem"}},
		"SET NAMES 'utf8'":                                       {{Kind: Set, Name: "client_encoding", Value: "'utf8'"}},
		"SET ROLE clerk":                                         {{Kind: Set, Name: "role", Value: "clerk"}},
		"SET SESSION AUTHORIZATION x":                            {{Kind: Neutral, Pin: PinUntracked}},
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY":   {{Kind: Neutral, Pin: PinUntracked}},
		"SET TRANSACTION READ ONLY":                              {{Kind: Neutral}},
		"SET x":                                                  {{Kind: Neutral, Pin: PinUntracked}},
		"SET LOCAL x":                                            {{Kind: Neutral}},
		"RESET work_mem":                                         {{Kind: Reset, Name: "work_mem"}},
		"RESET ALL":                                              {{Kind: ResetAll}},
		"DISCARD ALL":                                            {{Kind: DiscardAll, Unpin: allPins}},
		"DISCARD TEMP":                                           {{Kind: Neutral, Unpin: PinTempTable}},
		"DEALLOCATE ALL":                                         {{Kind: DeallocateAll}},
		"DEALLOCATE PREPARE s":                                   {{Kind: Deallocate, Name: "s"}},
		"PREPARE s AS SELECT 1":                                  {{Kind: Neutral, Name: "s", Pin: PinSQLPrepare}},
		"LISTEN orders":                                          {{Kind: Neutral, Pin: PinListen}},
		"UNLISTEN *":                                             {{Kind: Neutral, Unpin: PinListen}},
		"UNLISTEN orders":                                        {{Kind: Neutral}},
		"CREATE TEMP TABLE t (a int)":                            {{Kind: Write, Pin: PinTempTable}},
		"CREATE OR REPLACE TEMP VIEW v AS SELECT 1":              {{Kind: Write, Pin: PinTempTable}},
		"CREATE TABLE t (a int)":                                 {{Kind: Write}},
		"SELECT 1 INTO TEMP t":                                   {{Kind: Write, Pin: PinTempTable}},
		"SELECT pg_advisory_lock(1)":                             {{Kind: Write, Pin: PinAdvisoryLock}},
		"SELECT pg_try_advisory_lock_shared(1)":                  {{Kind: Write, Pin: PinAdvisoryLock}},
		"SELECT pg_advisory_xact_lock(1)":                        {{Kind: Write}},
		"SELECT pg_advisory_unlock(1)":                           {{Kind: Write}},
		"SELECT set_config('a.b', 'x', false)":                   {{Kind: Write, Pin: PinUntracked}},
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1":                {{Kind: Read, Pin: PinHoldCursor}},
		"DECLARE c CURSOR FOR SELECT 1":                          {{Kind: Read}},
		"DO $$ BEGIN PERFORM 1; END $$":                          {{Kind: Write, Pin: PinUntracked}},
		"COPY kv FROM STDIN":                                     {{Kind: Copy}},
		"SELECT E'a\\'; DELETE FROM kv; --'":                     {{Kind: Read}},
		"SELECT 'unterminated":                                   {{Kind: Read}},
		"VACUUM":                                                 {{Kind: Write}},
	} {
		if diff := cmp.Diff(want, Scan(sql)); diff != "" {
			t.Errorf("%s: %s", sql, diff)
		}
	}
}

func FuzzScan(f *testing.F) {
	for _, s := range []string{"SELECT 1", "BEGIN; SET a = 'x'; COMMIT", "$a$ $a$", `"`, "E'\\", "/*/*", "SET SESSION a.b.c TO 1, 2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		s, l := NewSession(nil), NewConnState(0)
		for _, c := range Scan(sql) {
			s.Completed(c, "")
		}
		// The query that carries the settings must consist of SET and RESET: a value cannot inject another
		// statement.
		for _, c := range Scan(l.SettingsQuery(s)) {
			if c.Kind != Set && c.Kind != Empty && c.Kind != Reset && c.Kind != Neutral {
				t.Fatalf("after %q another connection has to run %q", sql, l.SettingsQuery(s))
			}
		}
	})
}
