#include <string.h>

#include "common/message_text.h"
#include "record.pb-c.h"
#include "suite.h"

static const char good_text[] = "declarations:\n"
                                "  - pool:\n"
                                "      name: seats\n"
                                "      host_class: large\n"
                                "      capacity_target: 10\n"
                                "  - service:\n"
                                "      name: chess\n"
                                "      pool: seats\n"
                                "      traffic_class: nightly\n";

/* Parses a set of declarations from YAML. */
static Sp__DeclarationSet *
read_set (const char *text, struct text_error *error)
{
  return (Sp__DeclarationSet *) message_from_yaml (&sp__declaration_set__descriptor, text,
                                                   strlen (text), error);
}

/* A valid file is parsed into its messages; converting them to JSON and back preserves their packed
 * size. */
static void
test_round_trip (void)
{
  struct text_error error;
  Sp__DeclarationSet *set = read_set (good_text, &error);
  ProtobufCMessage *again;
  json_t *json;
  size_t size;

  SUITE_REQUIRE (set != NULL);
  CU_ASSERT_EQUAL (set->n_declarations, 2);
  CU_ASSERT_EQUAL (set->declarations[0]->kind_case, SP__DECLARATION__KIND_POOL);
  CU_ASSERT_EQUAL (set->declarations[0]->pool->capacity_target, 10);
  CU_ASSERT_EQUAL (set->declarations[1]->service->traffic_class,
                   SP__TRAFFIC_CLASS__TRAFFIC_CLASS_NIGHTLY);
  json = message_to_json (&set->base);
  again = message_from_json (&sp__declaration_set__descriptor, json, &error);
  SUITE_REQUIRE (again != NULL);
  size = protobuf_c_message_get_packed_size (&set->base);
  CU_ASSERT_EQUAL (size, protobuf_c_message_get_packed_size (again));
  protobuf_c_message_free_unpacked (again, NULL);
  protobuf_c_message_free_unpacked (&set->base, NULL);
  json_decref (json);
}

/* Checks that a text is rejected with the given line and field, and that the error contains a part
 * of what was expected. */
static void
expect_refusal (const char *text, size_t line, const char *field, const char *expected)
{
  struct text_error error;

  CU_ASSERT_PTR_NULL (read_set (text, &error));
  CU_ASSERT_EQUAL (error.line, line);
  CU_ASSERT_STRING_EQUAL (error.field, field);
  CU_ASSERT_PTR_NOT_NULL (strstr (error.expected, expected));
}

/* Each kind of error reports its line, its field and what was expected. */
static void
test_refused (void)
{
  expect_refusal ("declarations:\n  - pool:\n      nmae: seats\n", 3, "declarations[0].pool.nmae",
                  "a field of Pool");
  expect_refusal ("declarations:\n  - pool:\n      capacity_target: ten\n", 3,
                  "declarations[0].pool.capacity_target", "whole number");
  expect_refusal ("declarations:\n  - pool:\n      capacity_target: -1\n", 3,
                  "declarations[0].pool.capacity_target", "whole number");
  expect_refusal ("declarations:\n  - service:\n      traffic_class: slow\n", 3,
                  "declarations[0].service.traffic_class", "interactive nightly");
  expect_refusal ("declarations: 3\n", 1, "declarations", "a list");
  expect_refusal ("declarations:\n  - pool: {name: a}\n    team: {name: b}\n", 3,
                  "declarations[0].team", "only one kind");
  expect_refusal ("declarations: [\n", 2, "-", "YAML");
}

static const struct suite_test tests[] = {
  { "round trip", test_round_trip },
  { "refused", test_refused },
};

int
main (void)
{
  return suite_run ("message_text", tests, sizeof tests / sizeof tests[0]);
}
