#ifndef SESAMEPICK_CLI_TEXT_H
#define SESAMEPICK_CLI_TEXT_H

#include <jansson.h>

/* Return a field of a JSON object, or "" or 0 if it is missing. */
const char *json_field_string (const json_t *object, const char *field);
json_int_t json_field_integer (const json_t *object, const char *field);
/* Prints an amount in millionths of the currency unit as "1234.56". */
void text_print_money (json_int_t micros);
/* Prints a duration in milliseconds as "3 d 4 h", "5 min 10 s" or "250 ms". */
void text_print_duration (json_int_t ms);
/* Prints a plan with its steps and costs. */
void text_print_plan (const json_t *plan);
/* Prints a plan together with the command that confirms it. */
void text_print_proposal (const json_t *plan);

#endif
